package cli

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/site"
	"github.com/turmericshunt/turmericshunt/platform"
)

// settingsPollInterval is the interval at which the settings file is checked for changes, so that a change is also
// found without a signal.
const settingsPollInterval = 2 * time.Second

// settingsWatcher reloads a settings file on SIGHUP and when its modification time or size has changed.
type settingsWatcher struct {
	path    string
	log     *eventlog.Log
	hangups <-chan os.Signal // receives SIGHUP
	modTime time.Time        // of the file at the last check
	size    int64            // of the file at the last check, in bytes
}

// run calls reload with the new settings after each signal or change, and returns when ctx ends. Settings that can't be
// loaded are logged and skipped.
func (w *settingsWatcher) run(ctx context.Context, reload func(s *site.Settings)) error {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	w.fileChanged()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.hangups:
			signaled = true
		case <-poll.C:
		}
		if w.fileChanged() || signaled {
			w.load(reload)
		}
	}
}

// fileChanged reports whether the file has changed since the last call. It logs and returns false if the file can't be
// accessed.
func (w *settingsWatcher) fileChanged() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		w.log.Warn("settings_unreadable", slog.String("error", err.Error()))
		return false
	}
	if info.ModTime().Equal(w.modTime) && info.Size() == w.size {
		return false
	}
	w.modTime = info.ModTime()
	w.size = info.Size()
	return true
}

// load loads the settings and passes them to reload. Settings with an error are logged and not passed on.
func (w *settingsWatcher) load(reload func(s *site.Settings)) {
	s, err := platform.LoadSettings(w.path)
	if err != nil {
		w.log.Warn("settings_unreadable", slog.String("error", err.Error()))
		return
	}
	reload(s)
}
