package harness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// MeasureGRPC measures the figures of docs/measure/grpc.md, each for some seconds. parts names which; none: all.
func MeasureGRPC(out io.Writer, seconds int, binaries, parts []string) error {
	duration := time.Duration(seconds) * time.Second
	var err error
	for _, part := range []struct {
		name    string
		measure func() error
	}{{"unary", func() error { return measureUnary(out, duration) }}, {"streams", func() error { return measureStreams(out) }},
		{"trouble", func() error { return measureServerFaults(out, duration) }}, {"floods", func() error { return measureFloods(out, duration) }},
		{"idle", func() error { return measureIdle(out, binaries) }}} {
		if len(parts) == 0 || slices.Contains(parts, part.name) {
			err = errors.Join(err, part.measure())
		}
	}
	return err
}

// measureUnary compares unary calls without a broker, with random choice, and with the module.
func measureUnary(out io.Writer, duration time.Duration) error {
	cluster, err := New(4, 2, 0, 0)
	if err != nil {
		return err
	}
	defer cluster.Close()
	fmt.Fprintln(out, "unary calls of 200 bytes, 16 at a time, servers that answer at once")
	body := []byte(strings.Repeat("x", 200))
	direct, err := DialGRPC(cluster.Servers[0].GRPC.Addr().String(), 4)
	if err != nil {
		return err
	}
	t, err := EchoLoad(direct, 16, duration, body)
	if err != nil {
		return err
	}
	base := t.QuantileMs(50)
	fmt.Fprintf(out, "  %-14s p50 %.3f ms  p99 %.3f ms  %7.0f calls/s\n", "direct", t.QuantileMs(50), t.QuantileMs(99), float64(t.Answered)/duration.Seconds())
	perCPU := map[string]float64{}
	for _, policy := range []string{"random", "", "random", ""} {
		b, err := cluster.StartBroker(policy, true)
		if err != nil {
			return err
		}
		conns, err := DialGRPC(b.GRPCAddress, 4)
		if err != nil {
			return err
		}
		before := b.CPUSeconds()
		t, err := EchoLoad(conns, 16, duration, body, "x-shard", "0")
		if err != nil {
			return err
		}
		cpu := b.CPUSeconds() - before
		per := float64(t.Answered) / cpu
		perCPU[policy] = max(perCPU[policy], per)
		fmt.Fprintf(out, "  %-14s p50 %.3f ms  p99 %.3f ms  %7.0f calls/s  %7.0f calls per CPU second  p50 against direct %.2f  not answered %d\n",
			policyName(policy), t.QuantileMs(50), t.QuantileMs(99), float64(t.Answered)/duration.Seconds(), per, t.QuantileMs(50)/base, t.Shed+t.Errored)
		b.Stop()
	}
	fmt.Fprintf(out, "  calls per CPU second, module against random choice: %.2f\n", perCPU[""]/perCPU["random"])
	return nil
}

// policyName is the printed name of a policy.
func policyName(policy string) string {
	if policy == "" {
		return "module"
	}
	return policy
}

// measureStreams measures the memory of open streams.
func measureStreams(out io.Writer) error {
	fmt.Fprintln(out, "open streams, each with one message each way")
	for _, n := range []int{1, 100, 5000} {
		cluster, err := New(4, 2, 0, 0)
		if err != nil {
			return err
		}
		b, err := cluster.StartBroker("", true)
		if err != nil {
			return err
		}
		conns, err := DialGRPC(b.GRPCAddress, 8)
		if err != nil {
			return err
		}
		if _, err := EchoLoad(conns, 8, 300*time.Millisecond, []byte("x"), "x-shard", "0"); err != nil {
			return err
		}
		_, before := b.MemoryKB()
		ctx, cancel := context.WithCancel(context.Background())
		var wait sync.WaitGroup
		var bad atomic.Int64
		slots := make(chan struct{}, 64)
		for i := range n {
			wait.Add(1)
			slots <- struct{}{}
			go func() {
				defer wait.Done()
				defer func() { <-slots }()
				c := metadata.AppendToOutgoingContext(ctx, "x-shard", fmt.Sprint(i%cluster.ShardCount))
				s, err := conns[i%len(conns)].NewStream(c, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true}, "/demo.Stream/Talk")
				m := []byte("hello")
				if err == nil {
					err = s.SendMsg(&m)
				}
				if err == nil {
					err = s.RecvMsg(&m)
				}
				if err != nil {
					bad.Add(1)
				}
			}()
		}
		wait.Wait()
		resident, after := b.MemoryKB()
		fmt.Fprintf(out, "  %5d: %7.0f KB more, %8.0f bytes each; %.0f KB resident, %d failed\n", n, after-before, (after-before)*1024/float64(n), resident, bad.Load())
		cancel()
		cluster.Close()
	}
	return nil
}

// measureServerFaults compares the module with random choice and round robin, with one of four servers slow or unresponsive.
func measureServerFaults(out io.Writer, duration time.Duration) error {
	for _, kind := range []string{"none", "slow by 10", "silent for 5 s"} {
		cluster, err := New(4, 2, 8, 0.4)
		if err != nil {
			return err
		}
		var loads []*Load
		for _, policy := range []string{"", "random", "roundrobin"} {
			b, err := cluster.StartBroker(policy, true)
			if err != nil {
				return err
			}
			l, err := cluster.NewLoad(b)
			if err != nil {
				return err
			}
			loads = append(loads, l)
		}
		cluster.ObserveServers(loads...)
		ctx, cancel := context.WithTimeout(context.Background(), duration+5*time.Second)
		var wait sync.WaitGroup
		for _, l := range loads {
			wait.Add(1)
			go func() {
				defer wait.Done()
				l.Run(ctx, 0, 150)
			}()
		}
		time.Sleep(2 * time.Second) // the brokers learn about the servers
		switch kind {
		case "slow by 10":
			cluster.Servers[1].SetSlowdown(10)
		case "silent for 5 s":
			cluster.Servers[1].SetUnresponsive(true)
			time.AfterFunc(5*time.Second, func() { cluster.Servers[1].SetUnresponsive(false) })
		}
		wait.Wait()
		cancel()
		fmt.Fprintf(out, "four servers, one in trouble: %s (150 unary calls/s, a fifth not idempotent)\n", kind)
		for _, l := range loads {
			t := l.GRPC
			fmt.Fprintf(out, "  %-14s p50 %.1f ms  p99 %.1f ms  shed %d  errored %d of %d  rules broken %d\n", policyName(l.Broker.Policy), t.QuantileMs(50), t.QuantileMs(99),
				t.Shed, t.Errored, t.Total(), len(l.Violations()))
			l.Close()
		}
		cluster.Close()
	}
	return nil
}

// measureFloods compares searches over HTTP during floods of gRPC by abusive clients.
func measureFloods(out io.Writer, duration time.Duration) error {
	cluster, err := New(4, 2, 4, 0.3)
	if err != nil {
		return err
	}
	defer cluster.Close()
	b, err := cluster.StartBroker("", true)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "searches by HTTP (100/s) while gRPC is flooded")
	base := 0.0
	for _, kind := range []string{"none", "rapid resets", "PING", "SETTINGS", "endless CONTINUATION", "silent connections", "slow bodies", "honest calls"} {
		l, err := cluster.NewLoad(b)
		if err != nil {
			return err
		}
		cluster.ObserveServers(l)
		ctx, cancel := context.WithTimeout(context.Background(), duration)
		var wait sync.WaitGroup
		var sent atomic.Int64
		if kind == "honest calls" {
			wait.Add(1)
			go func() { defer wait.Done(); EchoLoad(l.conns, 32, duration, []byte("x"), "x-shard", "0") }()
		} else if kind != "none" {
			// In a process of its own, else the clients and servers of this one would be slowed down.
			wait.Add(1)
			go func() { defer wait.Done(); sent.Store(floodFromProcess(b.GRPCAddress, kind, duration)) }()
		}
		cpu := b.CPUSeconds()
		l.Run(ctx, 100, 0)
		cpu = b.CPUSeconds() - cpu
		wait.Wait()
		cancel()
		if kind == "none" {
			base = l.HTTP.QuantileMs(99)
		}
		fmt.Fprintf(out, "  %-22s p50 %.2f ms  p99 %.2f ms (%.2f of none)  shed %d  errored %d of %d  %d connections of the flood, %.2f of a core\n", kind,
			l.HTTP.QuantileMs(50), l.HTTP.QuantileMs(99), l.HTTP.QuantileMs(99)/base, l.HTTP.Shed, l.HTTP.Errored, l.HTTP.Total(), sent.Load(), cpu/duration.Seconds())
		l.Close()
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}

// floodFromProcess floods an address from a process of this program with two cores, and returns its connections.
func floodFromProcess(at, kind string, duration time.Duration) int64 {
	self, err := os.Executable()
	if err != nil {
		return 0
	}
	cmd := exec.Command(self, "flood", "--at", at, "--kind", kind, "--span", duration.String())
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	text, _ := cmd.Output()
	n, _ := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	return n
}

// Bounds of a flood.
const (
	floodClients        = 4
	maxFloodConnections = 2000
)

// Flood floods an address on loopback with floodClients abusive clients of a kind, and returns their connections.
func Flood(at, kind string, duration time.Duration) (int64, error) {
	addr, err := netip.ParseAddrPort(at)
	if err != nil || !addr.Addr().IsLoopback() {
		return 0, fmt.Errorf("%s is no address on loopback", at)
	}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var wait sync.WaitGroup
	var conns atomic.Int64
	for range floodClients {
		wait.Add(1)
		go func() { defer wait.Done(); floodRepeatedly(ctx, at, kind, &conns) }()
	}
	wait.Wait()
	return conns.Load(), nil
}

// floodRepeatedly is one abusive client. It reconnects whenever it is disconnected, up to maxFloodConnections times.
func floodRepeatedly(ctx context.Context, at, kind string, conns *atomic.Int64) {
	for range maxFloodConnections {
		if ctx.Err() != nil {
			return
		}
		c, err := net.DialTimeout("tcp", at, time.Second)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		conns.Add(1)
		stop := context.AfterFunc(ctx, func() { c.Close() })
		go io.Copy(io.Discard, c)
		sendFlood(c, kind)
		stop()
		c.Close()
	}
}

// sendFlood sends a flood of a kind on one connection, until that is closed.
func sendFlood(c net.Conn, kind string) {
	if kind == "silent connections" {
		time.Sleep(100 * time.Millisecond)
		return
	}
	io.WriteString(c, http2.ClientPreface)
	f := http2.NewFramer(c, nil)
	f.WriteSettings()
	var block strings.Builder
	e := hpack.NewEncoder(&block)
	for _, h := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/demo.Quick/Get"}, {":authority", "x"},
		{"content-type", "application/grpc"}, {"te", "trailers"}, {"x-shard", "0"}} {
		e.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]})
	}
	head := []byte(block.String())
	for i := range 100000 {
		id := uint32(2*i + 1)
		var err error
		switch kind {
		case "rapid resets":
			if err = f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: head, EndHeaders: true}); err == nil {
				err = f.WriteRSTStream(id, http2.ErrCodeCancel)
			}
			head = []byte{0x83, 0x86, 0xc3, 0xc2, 0xc1, 0xc0, 0xbf, 0xbe}[:2] // a short invalid block does as well
		case "PING":
			err = f.WritePing(false, [8]byte{})
		case "SETTINGS":
			err = f.WriteSettings()
		case "endless CONTINUATION":
			if i == 0 {
				err = f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: head})
			} else {
				err = f.WriteContinuation(1, false, make([]byte, 1000))
			}
		case "slow bodies":
			if i == 0 {
				for s := range uint32(50) {
					f.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*s + 1, BlockFragment: head, EndHeaders: true})
				}
			}
			err = f.WriteData(uint32(2*(i%50)+1), false, []byte{0})
			time.Sleep(time.Millisecond)
		}
		if err != nil {
			return
		}
	}
}

// measureIdle measures the memory of idle programs without an operator's file.
func measureIdle(out io.Writer, binaries []string) error {
	if len(binaries) == 0 {
		return nil
	}
	cluster, err := New(2, 2, 0, 0)
	if err != nil {
		return err
	}
	defer cluster.Close()
	fmt.Fprintln(out, "brokers at rest, 2 s after their start, no operator's file")
	conf := filepath.Join(cluster.Dir, "idle.json")
	text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":256},`+
		`"settings":%s}`, cluster.Discovery.Addr(), cluster.settings())
	if err := os.WriteFile(conf, []byte(text), 0o600); err != nil {
		return err
	}
	for _, path := range binaries {
		var all, anon []float64
		for range 3 {
			cmd := exec.Command(path)
			cmd.Env = append(os.Environ(), "RELAY_CONFIG="+conf)
			if err := cmd.Start(); err != nil {
				return err
			}
			time.Sleep(2 * time.Second)
			a, b := ProcessMemoryKB(cmd.Process.Pid)
			all, anon = append(all, a), append(anon, b)
			cmd.Process.Signal(syscall.SIGTERM)
			cmd.Wait()
		}
		size, _ := os.Stat(path)
		fmt.Fprintf(out, "  %-28s resident %.0f KB, of it anonymous %.0f KB (least of 3); binary %.1f MB\n", path, min(all[0], all[1], all[2]),
			min(anon[0], anon[1], anon[2]), float64(size.Size())/1e6)
	}
	return nil
}
