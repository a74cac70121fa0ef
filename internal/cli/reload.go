package cli

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/site"
	"github.com/turmericshunt/turmericshunt/platform"
)

// settingsPoll is how often the settings file is looked at for changes without a signal.
const settingsPoll = 2 * time.Second

// settingsWatch reads a settings file again on SIGHUP and when it has changed.
type settingsWatch struct {
	path    string
	log     *eventlog.Log
	changed time.Time
	size    int64
}

func (w *settingsWatch) run(ctx context.Context, reload func(s *site.Settings)) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	poll := time.NewTicker(settingsPoll)
	defer poll.Stop()
	w.look()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signals:
			signaled = true
		case <-poll.C:
		}
		if w.look() || signaled {
			w.read(reload)
		}
	}
}

// look tells whether the file has changed since the last look.
func (w *settingsWatch) look() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		w.log.Warn("settings_unreadable", slog.String("error", err.Error()))
		return false
	}
	if info.ModTime().Equal(w.changed) && info.Size() == w.size {
		return false
	}
	w.changed = info.ModTime()
	w.size = info.Size()
	return true
}

func (w *settingsWatch) read(reload func(s *site.Settings)) {
	s, err := platform.LoadSettings(w.path)
	if err != nil {
		w.log.Warn("settings_unreadable", slog.String("error", err.Error()))
		return
	}
	reload(s)
}
