// Package review plays the cases of the review of issue 63.
package review

import (
	"errors"
	"flag"
	"os/exec"
	"path/filepath"
	"testing"
)

var playCases = flag.Bool("cases", false, "play the cases, which takes some minutes")

// TestCases plays the script of each case, in their order: go test ./review -args -cases. The nodes are built by deploy/system.toml
// before. A case fails the test if its rule was broken.
func TestCases(t *testing.T) {
	if !*playCases {
		t.Skip("plays only with -args -cases")
	}
	if output, err := exec.Command("./build.sh").CombinedOutput(); err != nil {
		t.Fatalf("build.sh: %v\n%s", err, output)
	}
	scripts, err := filepath.Glob("[0-9]/run.sh")
	if err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		t.Run(filepath.Dir(script), func(t *testing.T) {
			output, err := exec.Command(script).CombinedOutput()
			t.Logf("%s", output)
			var exit *exec.ExitError
			if errors.As(err, &exit) && exit.ExitCode() == 1 {
				t.Fatal("the rule was broken")
			}
			if err != nil {
				t.Fatalf("the case could not run: %v", err)
			}
		})
	}
}
