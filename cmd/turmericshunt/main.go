// Command turmericshunt is an entry host and the command line of its operators.
package main

import (
	"context"
	"os"

	"github.com/turmericshunt/turmericshunt/internal/cli"
)

// Set by the linker.
var version = "dev"

func main() {
	p := &cli.Program{Version: version, Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv}
	os.Exit(p.Run(context.Background(), os.Args[1:]))
}
