package chat

import "testing"

func TestParse(t *testing.T) {
	tests := []struct{ in, prompt, err string }{
		{`{"model":"m","messages":[{"role":"user","content":"hi"}],"temperature":1}`, "user: hi\n", ""},
		{`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, "user: ab\n", ""},
		{`{"model":"m"`, "", "not JSON at byte 12: unexpected end of JSON input"},
		{`[]`, "", "must be a JSON object"},
		{`{"model":3}`, "", "model: number is not a string"},
		{`{"messages":[]}`, "", "model: must be set"},
		{`{"model":"m","messages":[]}`, "", "messages: must hold at least one message"},
		{`{"model":"m","messages":[{"role":"x","content":""}]}`, "", `messages[0].role: "x" is not a role`},
		{`{"model":"m","messages":[{"role":"user"}]}`, "", "messages[0].content: must be a string or a list of text parts"},
		{`{"model":"m","messages":[{"role":"user","content":[{"type":"image"}]}]}`, "", `messages[0].content: part of type "image" is not supported`},
		{`{"model":"m","messages":[{"role":"user","content":""}],"max_tokens":0}`, "", "max_tokens: must be 1 to 1048576"},
		{`{"model":"m","messages":[{"role":"user","content":""}],"max_tokens":9000000000000000000}`, "", "max_tokens: must be 1 to 1048576"},
		{`{"model":"m","messages":[{"role":"user","content":""}],"n":2}`, "", "n: must be 1"},
	}
	for _, tc := range tests {
		t.Run(tc.in, func(t *testing.T) {
			r, err := Parse([]byte(tc.in))
			if err != nil {
				if err.Error() != tc.err {
					t.Errorf("got error %q, want %q", err, tc.err)
				}
				return
			}
			if tc.err != "" || r.Prompt() != tc.prompt {
				t.Errorf("got prompt %q, want %q and error %q", r.Prompt(), tc.prompt, tc.err)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"n":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := Parse(body)
		if err == nil && (r.OutputTokens() < 1 || r.Prompt() == "") {
			t.Errorf("accepted %s", body)
		}
	})
}
