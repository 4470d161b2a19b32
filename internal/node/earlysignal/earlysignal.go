// Package earlysignal catches SIGHUP from the first moment of a process on at which Go code runs.
//
// The platform may signal at any time that the settings file has changed, also while a process is
// initialized. Until a handler is installed SIGHUP ends the process, and the initialization of the
// packages that the node links takes several milliseconds. So the handler is installed by the
// initialization of this package, which imports little and therefore comes early; what arrives before
// that (exec, the loader, Go's runtime) still ends the process.
package earlysignal

import (
	"os"
	"os/signal"
	"syscall"
)

// hangUps receives each SIGHUP; one waits, as each asks for the same.
var hangUps = catchHangUps()

func catchHangUps() <-chan os.Signal {
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGHUP)
	return caught
}

// HangUps is the channel of the SIGHUPs that the process has received. It is meant for one reader.
func HangUps() <-chan os.Signal { return hangUps }
