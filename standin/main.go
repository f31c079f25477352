package main

import (
	"os"

	"parsleyport/standin/outside"
)

func main() {
	os.Exit(outside.Main(os.Args[1:], outside.DefaultProtocol()))
}
