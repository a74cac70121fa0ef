package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// sample returns the example settings file.
func sample(t testing.TB) string {
	source, err := os.ReadFile("../../examples/settings.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	return string(source)
}

func TestSampleHoldsDefaults(t *testing.T) {
	s, err := Parse([]byte(sample(t)))
	if err != nil {
		t.Fatal(err)
	}
	if want := defaults().Timing; s.Timing != want {
		t.Errorf("timing is %+v, want the defaults %+v", s.Timing, want)
	}
	if want := defaults().Log; !reflect.DeepEqual(s.Log, want) {
		t.Errorf("log is %+v, want the defaults %+v", s.Log, want)
	}
	if s.Callers.MaxBodyBytes != defaultMaxBodyBytes || s.Callers.MaxTotalBodyBytes != defaultMaxBodiesBytes ||
		s.Platform.WritesPerSecond != defaultWritesPerSecond || s.Platform.ReadsPerSecond != defaultReadsPerSecond {
		t.Error("a number in the example settings is not the default")
	}
}

func TestParseRefuses(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{`"name": "e1",`, ``, "line 4, column 11: host.name: must be set"},
		{`"region": "nordeste"`, `"regio": "nordeste"`, "line 7, column 5: host.regio: unknown field"},
		{`"127.0.0.1:8080"`, `"localhost:8080"`, `line 12, column 15: callers.listen: ParseAddr("localhost"): unable to parse IP`},
		{`"127.0.0.1:7000"`, `"0.0.0.0:7000"`, "line 21, column 15: peers.listen: other hosts are told this address, so it can't be unspecified"},
		{`"tls": {"cert_file": "", "key_file": ""}`, `"tls": {"cert_file": "a", "key_file": ""}`, "line 16, column 12: callers.tls: cert_file and key_file go together"},
		{`"key_file": "", "ca_file": ""},
  },

  // Adm`, `"key_file": "", "ca_file": "x"},
  },

  // Adm`, "line 26, column 57: peers.tls.ca_file: needs cert_file and key_file"},
		{`2bb80d5`, `2bb`, "line 37, column 19: operators.tokens[0].sha256: must be 64 hexadecimal digits"},
		{`"writes_per_second": 15`, `"writes_per_second": 0`, "line 47, column 26: platform.writes_per_second: must be above 0"},
		{`"max_bodies_bytes": 536870912`, `"max_bodies_bytes": 1`, "line 14, column 25: callers.max_bodies_bytes: must be at least max_body_bytes"},
		{`"format": "text"`, `"format": "xml"`, `line 52, column 15: log.format: must be "json" or "text"`},
		{`"level": "INFO"`, `"level": "LOUD"`, `line 53, column 14: log.level: slog: level string "LOUD": unknown name`},
		{`"balancer_delay": "2s"`, `"balancer_delay": "2"`, `line 57, column 23: timing.balancer_delay: "2" is not a duration such as "30s"`},
		{`"frame_gap": "1s"`, `"frame_gap": "-2s"`, `line 60, column 18: timing.frame_gap: must be above 0`},
	}
	for _, tc := range tests {
		t.Run(tc.new, func(t *testing.T) {
			source := strings.Replace(sample(t), tc.old, tc.new, 1)
			if source == sample(t) {
				t.Fatalf("the example settings do not contain %s", tc.old)
			}
			_, err := Parse([]byte(source))
			if err == nil || err.Error() != tc.want {
				t.Errorf("got  %v\nwant %s", err, tc.want)
			}
		})
	}
}

func TestOperatorsListenerNeedsAuthentication(t *testing.T) {
	source := `{
  "host": {"name": "a", "failure_domain": "b", "region": "c"},
  "callers": {"listen": "0.0.0.0:1"}, "peers": {"listen": "10.0.0.1:2"}, "platform": {"address": "10.0.0.1:3"},
  "operators": {"listen": "10.0.0.1:4"}}`
	want := "line 4, column 16: operators.tokens: a listener that others reach needs tokens or tls.ca_file"
	if _, err := Parse([]byte(source)); err == nil || err.Error() != want {
		t.Errorf("got  %v\nwant %s", err, want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample(f)))
	f.Fuzz(func(t *testing.T, source []byte) {
		if s, err := Parse(source); (s == nil) == (err == nil) {
			t.Errorf("settings %v with error %v", s, err)
		}
	})
}

func TestOperatorWithCertificateNeedsNoToken(t *testing.T) {
	source := strings.Replace(sample(t), `"sha256": "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",`, ``, 1)
	want := "line 35, column 7: operators.tokens[0].sha256: must be 64 hexadecimal digits"
	if _, err := Parse([]byte(source)); err == nil || err.Error() != want {
		t.Errorf("got  %v\nwant %s", err, want)
	}
	const files = `"tls": {"cert_file": "", "key_file": "", "ca_file": ""}`
	at := strings.LastIndex(source, files)
	source = source[:at] + strings.ReplaceAll(files, `""`, `"x"`) + source[at+len(files):]
	if _, err := Parse([]byte(source)); err != nil {
		t.Error(err)
	}
}
