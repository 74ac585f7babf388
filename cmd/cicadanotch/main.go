// Command cicadanotch is the tool of operators and callers.
package main

import (
	"os"

	"github.com/cicadanotch/cicadanotch/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
