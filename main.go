// Command parsleyport runs the processes of the service mesh and the operators' commands.
package main

import (
	"os"

	"parsleyport/io/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
