package jsonc

import (
	"net/netip"
	"testing"

	"github.com/pkg/errors"
)

type sample struct {
	Name string `json:"name"`
	List []struct {
		Address netip.AddrPort `json:"address"`
		Count   int            `json:"count"`
	} `json:"list"`
}

func TestDecode(t *testing.T) {
	tests := []struct {
		in   string
		want string
	}{
		{"{\n  // a comment\n  \"name\": \"x\",\n}", ""},
		{`{"name": "x"} // the end`, ""},
		{`{"list": [{"address": "127.0.0.1:1", "count": 2}]}`, ""},
		{"{\n  \"nam\": \"x\"}", `line 2, column 3: nam: unknown field`},
		{`{"name": 3}`, `line 1, column 10: name: must be a string`},
		{"{\"list\": [\n{\"count\": \"2\"}]}", `line 2, column 11: list[0].count: must be a whole number`},
		{`{"list": {}}`, `line 1, column 10: list: must be an array`},
		{`{"name": ["a"]}`, `line 1, column 10: name: must be a string`},
		{`{"name": "a", "name": "b"}`, `line 1, column 15: name: field is given twice`},
		{`{"list": [{"address": "host:1"}]}`, `line 1, column 23: list[0].address: ParseAddr("host"): unable to parse IP`},
		{"{\n\"name\" \"x\"}", `line 2, column 8: invalid character '"' after object name`},
	}
	for _, tc := range tests {
		t.Run(tc.in, func(t *testing.T) {
			got := ""
			text, err := Parse([]byte(tc.in))
			if err == nil {
				err = text.Decode(&sample{})
			}
			if err != nil {
				got = err.Error()
			}
			if got != tc.want {
				t.Errorf("got  %s\nwant %s", got, tc.want)
			}
		})
	}
}

func TestMistake(t *testing.T) {
	text, err := Parse([]byte("{\n \"list\": [\n  {},\n  {\"count\": 1}]}"))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ path, want string }{
		{"list[1].count", "line 4, column 13: list[1].count: bad"},
		{"list[1].address", "line 4, column 3: list[1].address: bad"},
		{"name", "line 1, column 1: name: bad"},
	}
	for _, tc := range tests {
		if got := text.FieldError(tc.path, errors.New("bad")).Error(); got != tc.want {
			t.Errorf("got %s, want %s", got, tc.want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "x", "list": [{"count": 1}]} // end`))
	f.Fuzz(func(t *testing.T, source []byte) {
		text, err := Parse(source)
		if err != nil {
			return
		}
		if err := text.Decode(&sample{}); err == nil {
			return
		} else if e := (*Error)(nil); !errors.As(err, &e) || e.Line < 1 || e.Column < 1 {
			t.Errorf("error without a position: %v", err)
		}
	})
}
