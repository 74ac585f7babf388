// Command cicadanotch is the command-line tool for operators and callers.
package main

import (
	"os"

	"github.com/cicadanotch/cicadanotch/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
