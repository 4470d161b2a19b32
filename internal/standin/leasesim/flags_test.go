package leasesim

import "flag"

var (
	seeds   = flag.Int("seeds", 40, "")
	planted = flag.Bool("planted", false, "")
	figures = flag.Bool("figures", false, "")
)
