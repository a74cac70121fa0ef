package cli

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/site"
	"github.com/turmericshunt/turmericshunt/platform"
)

const (
	platformSample = "../../examples/platform/settings.toml"
	reloadTimeout  = 10 * time.Second
)

// watchSettings copies the sample settings and watches the copy until the test ends. Reloaded settings are sent to the
// returned channel.
func watchSettings(t *testing.T) (path string, reloaded <-chan *site.Settings) {
	t.Helper()
	text, err := os.ReadFile(platformSample)
	if err != nil {
		t.Fatal(err)
	}
	path = filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	log := eventlog.New(io.Discard, "front-1")
	t.Cleanup(log.Close)
	ctx, cancel := context.WithCancel(context.Background())
	received, done := make(chan *site.Settings, 100), make(chan struct{})
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(hangups) })
	watcher := settingsWatcher{path: path, log: log, hangups: hangups}
	go func() {
		defer close(done)
		_ = watcher.run(ctx, func(s *site.Settings) { received <- s })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return path, received
}

func TestSettingsAreReadAgainOnHangup(t *testing.T) {
	_, reloaded := watchSettings(t)
	deadline := time.After(reloadTimeout)
	for {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case s := <-reloaded:
			if s.Host != "front-1" {
				t.Errorf("got the settings of host %q", s.Host)
			}
			return
		case <-time.After(10 * time.Millisecond):
		case <-deadline:
			t.Fatal("the settings were not reloaded")
		}
	}
}

// A SIGHUP that comes before the settings are read doesn't end the process.
func TestHangupAtStart(t *testing.T) {
	var out bytes.Buffer
	p := &Program{Out: &out, Err: &out, Getenv: func(name string) string {
		if name != platform.SettingsVariable {
			return ""
		}
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Error(err)
		}
		time.Sleep(100 * time.Millisecond) // the signal may be delivered on another thread
		return platformSample
	}}
	if code := p.Run(t.Context(), []string{"gateway", "--check"}); code != ExitOK {
		t.Errorf("exit code %d\n%s", code, out.String())
	}
}

func TestChangedSettingsAreReadWithoutSignal(t *testing.T) {
	path, reloaded := watchSettings(t)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	broken := strings.Replace(string(text), "strictRevocation = true", "strictRevocation = 7", 1)
	changed := strings.Replace(string(text), "gracePeriodS = 8", "gracePeriodS = 9", 1)
	if err := os.WriteFile(path, []byte(broken), 0o600); err != nil {
		t.Fatal(err)
	}
	select {
	case <-reloaded:
		t.Error("settings with an error were passed on")
	case <-time.After(settingsPollInterval + settingsPollInterval/2):
	}
	if err := os.WriteFile(path, []byte(changed+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	select {
	case s := <-reloaded:
		if s.GracePeriod != 9*time.Second {
			t.Errorf("got a grace period of %v", s.GracePeriod)
		}
	case <-time.After(reloadTimeout):
		t.Fatal("the settings were not reloaded")
	}
}
