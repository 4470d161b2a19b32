// Package defaults sets fields of options that were left out. A value that is not positive stands for a
// field that was left out, as no duration or number among the options may be.
package defaults

import "time"

// Duration sets the field to value unless it is positive.
func Duration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

// Int sets the field to value unless it is positive.
func Int(field *int, value int) {
	if *field <= 0 {
		*field = value
	}
}
