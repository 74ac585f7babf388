// Command cicadanotch-standin runs stand-ins for the platform and the endpoints.
// It is meant for tests and trials, not for serving callers.
package main

import (
	"os"

	"github.com/cicadanotch/cicadanotch/standin/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
