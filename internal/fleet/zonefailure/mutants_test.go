package zonefailure

import (
	"os/exec"
	"strings"
	"testing"
)

func TestMutantsAreFound(t *testing.T) {
	if testing.Short() || mutantAny {
		t.Skip("builds the package once for each")
	}
	for _, tag := range []string{"mutant_stall", "mutant_clock", "mutant_siblings", "mutant_relapse", "mutant_late_answer", "mutant_hearsay", "mutant_probe_burst", "mutant_few"} {
		out, err := exec.Command("go", "test", "-count=1", "-short", "-tags", tag, ".").CombinedOutput()
		if err == nil || !strings.Contains(string(out), "--- FAIL") {
			t.Errorf("%s was not found: %v\n%.1000s", tag, err, out)
			continue
		}
		line, _, _ := strings.Cut(string(out), "\n")
		t.Logf("%s found: %s", tag, line)
	}
}
