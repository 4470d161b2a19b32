package zonefailure

import (
	"os/exec"
	"strings"
	"testing"
)

// TestMutantsAreFound runs the short tests with the build tag of each mutant, and checks that they fail.
func TestMutantsAreFound(t *testing.T) {
	if testing.Short() || mutantAny {
		t.Skip("builds and tests the package once for each mutant")
	}
	for _, tag := range []string{"mutant_stall", "mutant_clock", "mutant_siblings", "mutant_relapse",
		"mutant_late_answer", "mutant_uncorroborated", "mutant_probe_burst", "mutant_few"} {
		out, err := exec.Command("go", "test", "-count=1", "-short", "-tags", tag, ".").CombinedOutput()
		if err == nil || !strings.Contains(string(out), "--- FAIL") {
			t.Errorf("the tests do not detect %s: %v\n%.1000s", tag, err, out)
			continue
		}
		line, _, _ := strings.Cut(string(out), "\n")
		t.Logf("%s is detected: %s", tag, line)
	}
}
