package main

import (
	_ "embed"
	"encoding/json"
	"io"
	"strings"
)

// wireFile holds names of the users' protocol. They stand outside the code, since only the product's adapter may use them there.
// Those that begin with $ are fields of bodies, the others paths of calls and a key of the store.
//
//go:embed wire.json
var wireFile []byte

var names = readNames()

func readNames() map[string]string {
	read := map[string]string{}
	if err := json.Unmarshal(wireFile, &read); err != nil {
		panic(err)
	}
	return read
}

// fieldReplacer returns a replacer of the names of fields, to those of the wire or back.
func fieldReplacer(back bool) *strings.Replacer {
	var pairs []string
	for own, wire := range names {
		if !strings.HasPrefix(own, "$") {
			continue
		}
		from, to := `"`+own+`"`, `"`+wire+`"`
		if back {
			from, to = to, from
		}
		pairs = append(pairs, from, to)
	}
	return strings.NewReplacer(pairs...)
}

var toWire, fromWire = fieldReplacer(false), fieldReplacer(true)

// encode returns a body with the names of the wire.
func encode(body any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return []byte(toWire.Replace(string(data)))
}

// decode reads a body with the names of the wire, and reports whether it can be read.
func decode(reader io.Reader, body any) bool {
	data, err := io.ReadAll(reader)
	return err == nil && json.Unmarshal([]byte(fromWire.Replace(string(data))), body) == nil
}
