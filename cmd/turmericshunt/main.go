// Command turmericshunt runs an entry host and is the command line tool of its operators.
package main

import (
	"context"
	"os"

	"github.com/turmericshunt/turmericshunt/internal/cli"
)

// version is the version of the program; the linker sets it.
var version = "dev"

func main() {
	p := &cli.Program{Version: version, Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv}
	os.Exit(p.Run(context.Background(), os.Args[1:]))
}
