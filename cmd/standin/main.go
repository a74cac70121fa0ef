// Command standin runs stand-ins for the systems that turmericshunt works with, for tests and demos.
package main

import (
	"context"
	"os"

	"github.com/turmericshunt/turmericshunt/internal/standin/program"
)

func main() {
	p := &program.Program{Out: os.Stdout, Err: os.Stderr}
	os.Exit(p.Run(context.Background(), os.Args[1:]))
}
