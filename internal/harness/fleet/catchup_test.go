package fleet

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/standin/fleetoperator"
)

var catchUpSizes = flag.String("catch-up-mib", "1", "sizes of the configuration, in MiB, that a wiped core node catches up with")

const (
	// Machines large enough for a configuration of 24 MiB: a third of a quarter of the disk, a 24th of the memory.
	catchUpDiskMB   = 320
	catchUpMemoryMB = 640
	// keysOfTenant keys of keyBytes each make a tenant of about 64 KiB, and changes add tenantsOfChange.
	keysOfTenant    = 1000
	keyBytes        = 62
	tenantsOfChange = 16
	catchUpTimeout  = 3 * time.Minute
)

// bulkTenants are the tenants of one change of about 1 MiB.
func bulkTenants(change int) []config.Tenant {
	var tenants []config.Tenant
	for i := range tenantsOfChange {
		tenant := config.Tenant{Name: fmt.Sprintf("bulk-%d-%d", change, i)}
		for key := range keysOfTenant {
			tenant.APIKeys = append(tenant.APIKeys, fmt.Sprintf("%0*d", keyBytes, change*tenantsOfChange*keysOfTenant+i*keysOfTenant+key))
		}
		tenants = append(tenants, tenant)
	}
	return tenants
}

// TestWipedCoreNodeCatchesUpWithLargeState: of each size, how long a core node with an empty disk takes to be in the chain again,
// and the memory of its process.
func TestWipedCoreNodeCatchesUpWithLargeState(t *testing.T) {
	for size := range strings.SplitSeq(*catchUpSizes, ",") {
		mebibytes, err := strconv.Atoi(size)
		assert.NilError(t, err)
		t.Run(size+" MiB", func(t *testing.T) { catchUpWith(t, mebibytes) })
	}
}

func catchUpWith(t *testing.T, mebibytes int) {
	ctx, cancel := context.WithTimeout(t.Context(), catchUpTimeout)
	defer cancel()
	started, err := Start(Options{
		Binary: binary, Dir: diskDir(t), Bounds: testBounds(), DiskMB: catchUpDiskMB, MemoryMB: catchUpMemoryMB,
	})
	assert.NilError(t, err)
	defer started.Close()
	assert.NilError(t, started.Bootstrap(ctx))
	for change := range mebibytes {
		before := started.Operator.Current()
		sentAt := time.Now()
		_, err := started.Operator.Update(ctx, before, fleetoperator.Update{
			Version: nextVersion(before), Upsert: fleetoperator.Items{Tenants: bulkTenants(change)},
		})
		assert.NilError(t, err, "change %d", change)
		if change == mebibytes-1 {
			t.Logf("the last change is acknowledged after %v", time.Since(sentAt).Round(time.Millisecond))
		}
	}
	assert.NilError(t, started.AwaitAgreement(ctx))
	wiped := started.Core()[1]
	wiped.Kill()
	assert.NilError(t, os.RemoveAll(wiped.DataDir()))
	assert.NilError(t, wiped.Start())
	startedAt := time.Now()
	assert.NilError(t, started.AwaitAgreement(ctx))
	took := time.Since(startedAt)
	resident, peak, err := wiped.MemoryBytes()
	assert.NilError(t, err)
	proxy, proxyPeak, err := started.Nodes[nodeCount-1].MemoryBytes()
	assert.NilError(t, err)
	t.Logf("%d MiB: in the chain again after %v; resident %d MB, peak %d MB; a proxy %d MB, peak %d MB", mebibytes,
		took.Round(time.Millisecond), resident>>20, peak>>20, proxy>>20, proxyPeak>>20)
	assert.NilError(t, started.Operator.CheckReadBack(ctx))
	assert.Assert(t, took < started.options.Bounds.Ack+time.Duration(mebibytes)*time.Second, "took %v", took)
}
