package replay

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"
)

// TestDecodeErrors guards against a faulty trace that is replayed in part, and against an error that does
// not name the line.
func TestDecodeErrors(t *testing.T) {
	cases := []struct {
		name, text string
		line       int
		cause      error
	}{
		{"empty", "", 1, ErrHeader},
		{"no header", workerOne, 1, ErrHeader},
		{"second header", header + "\n" + header, 2, ErrHeader},
		{"no region", `{"header":{"version":1,"seed":1,"region":""}}`, 1, ErrHeader},
		{"version", `{"header":{"version":2,"seed":1,"region":"r"}}`, 1, ErrVersion},
		{"configuration", `{"header":{"version":1,"seed":1,"region":"r","configuration":{"region":"r"}}}`, 1, ErrValue},
		{"no JSON", header + "\nx", 2, ErrSyntax},
		{"unknown key", header + "\n" + `{"worker_left":{"name":"x","zzz":1}}`, 2, ErrSyntax},
		{"no unit", header + "\n" + `{"at":"5","worker_left":{"name":"x"}}`, 2, ErrSyntax},
		{"two values", header + "\n" + `{"store":{"up":true}}{}`, 2, ErrSyntax},
		{"no body", header + "\n{}", 2, ErrBody},
		{"two bodies", header + "\n" + `{"store":{"up":true},"worker_left":{"name":"x"}}`, 2, ErrBody},
		{"no outcome", header + "\n" + `{"expect":{"name":"n"}}`, 2, ErrBody},
		{"order", header + "\n" + request + "\n" + workerOne, 3, ErrOrder},
		{"too late", header + "\n" + `{"at":"200h","store":{"up":true}}`, 2, ErrLimit},
		{"kind", header + "\n" + strings.Replace(job, "batch", "service", 1), 2, ErrValue},
		{"size", header + "\n" + strings.Replace(job, "4000", "-1", 1), 2, ErrValue},
		{"interval", header + "\n" + strings.Replace(workerOne, `"1s"`, `"1ns"`, 1), 2, ErrValue},
		{"timeout", header + "\n" + strings.Replace(request, `"timeout":"1s"`, `"timeout":"0s"`, 1), 2, ErrValue},
		{"report", header + "\n" + `{"report":{"worker":"w","boot":"b","task":"t","attempt":1,"event":"x"}}`, 2, ErrValue},
		{"outcome time", header + "\n" + `{"expect":{"name":"n","final":{"by":"-1s"}}}`, 2, ErrValue},
		{"line length", header + "\n" + strings.Repeat(" ", MaxLineBytes+1), 2, ErrLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode(strings.NewReader(c.text))
			var failed *LineError
			if !errors.As(err, &failed) || failed.Line != c.line || !errors.Is(err, c.cause) {
				t.Fatalf("%v, want line %d: %v", err, c.line, c.cause)
			}
		})
	}
}

// FuzzDecode guards against a trace that panics the decoder, is refused without a line, or is accepted
// and cannot be written and read again.
func FuzzDecode(f *testing.F) {
	for _, line := range []string{workerOne, workerTwo, job, urgent, request, `{"expect":{"name":"n","one_place_only":{}}}`} {
		f.Add([]byte(header + "\n" + line))
	}
	if data, err := os.ReadFile("testdata/traces/bc-coast-impossible-jobs.jsonl"); err == nil {
		f.Add(data[:min(len(data), 8<<10)])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := Decode(bytes.NewReader(data))
		var failed *LineError
		if err != nil {
			if !errors.As(err, &failed) || failed.Line < 1 {
				t.Fatal(err)
			}
			return
		}
		var written bytes.Buffer
		_ = Encode(&written, &Line{Header: &trace.Header})
		for _, line := range append(trace.Events, trace.Expectations...) {
			if err := Encode(&written, &line); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := Decode(&written); err != nil {
			t.Fatal(err)
		}
	})
}
