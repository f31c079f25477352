// Command parsleyport runs the nodes and control instances of the service mesh and the commands of its operators.
package main

import (
	"os"

	"parsleyport/io/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
