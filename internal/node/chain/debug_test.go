package chain_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"kestrelspread/internal/node/core"
)

func init() {
	debugSend = func(from *node, output core.Send) {
		w := from.world
		lo, _ := strconv.ParseFloat(os.Getenv("DBG_FROM"), 64)
		hi, _ := strconv.ParseFloat(os.Getenv("DBG_TO"), 64)
		if os.Getenv("DBG_FROM") == "" || w.now.Seconds() < lo || w.now.Seconds() > hi {
			return
		}
		w.logf("%s -> %s %.200s", from.address, output.To, fmt.Sprint(output.Message))
	}
}

func TestDebug(t *testing.T) {
	s, err := strconv.ParseUint(os.Getenv("DBG_SEED"), 10, 64)
	if err != nil {
		t.Skip()
	}
	playSeed(t, s)
}
