//go:build soak

package main

import (
	"context"
	"os"

	"github.com/turmericshunt/turmericshunt/internal/cli"
	"github.com/turmericshunt/turmericshunt/internal/soak/paths"
)

func main() {
	p := &cli.Program{
		Version: "soak", Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv, ConnectReplica: paths.Connect, ConnectHost: paths.Connect,
	}
	os.Exit(p.Run(context.Background(), os.Args[1:]))
}
