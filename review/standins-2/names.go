package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// wireFile holds names of the users' protocol. They stand outside the code, since only the product's adapter may use them.
//
//go:embed wire.json
var wireFile []byte

// wireNames are names of the users' protocol: paths of calls, a key of the store, and a field.
type wireNames struct {
	StartRun      string
	StopRun       string
	List          string
	Watch         string
	Transaction   string
	Configuration string
	Memory        string
}

var names = readNames()

func readNames() wireNames {
	var read wireNames
	if err := json.Unmarshal(wireFile, &read); err != nil {
		panic(err)
	}
	return read
}

// encodeStep returns a step with the names of the users' protocol: those of the struct with a small first letter.
func encodeStep(s step) map[string]any {
	encoded, _ := json.Marshal(s)
	var fields map[string]any
	_ = json.Unmarshal(encoded, &fields)
	result := make(map[string]any, len(fields))
	for name, value := range fields {
		result[strings.ToLower(name[:1])+name[1:]] = value
	}
	return result
}
