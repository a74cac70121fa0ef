package account

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// garbage counts bytes that were given back and that the garbage collector may not have freed yet: those since the end of the
// collection before the last, because one that runs while they are given back may miss them. Without this count, a burst of bodies that
// are dropped takes several times the memory that is held at any time.
type garbage struct {
	start    sync.Once
	current  atomic.Int64
	previous atomic.Int64
}

// sentinel is an object that each collection finds unreachable. It has a pointer so that it isn't allocated together with others.
type sentinel struct{ self *garbage }

func (g *garbage) add(bytes int64) {
	g.start.Do(g.watch)
	g.current.Add(bytes)
}

func (g *garbage) bytes() int64 { return g.current.Load() + g.previous.Load() }

// watch has collected called after the next collection.
func (g *garbage) watch() { runtime.SetFinalizer(&sentinel{self: g}, (*sentinel).collected) }

func (s *sentinel) collected() {
	s.self.previous.Store(s.self.current.Swap(0))
	s.self.watch()
}
