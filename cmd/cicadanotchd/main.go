// Command cicadanotchd runs one entry host.
package main

import (
	"os"

	"github.com/cicadanotch/cicadanotch/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stderr))
}
