package main

import (
	_ "embed"
	"encoding/json"
)

// wireFile holds the names of the users' protocol. They stand outside the code, since only the product's adapter may use
// them there.
//
//go:embed wire.json
var wireFile []byte

// wireNames are names of the users' protocol: paths of calls, a key of the store, and fields of bodies.
type wireNames struct {
	StartRun         string `json:"startRun"`
	StopRun          string `json:"stopRun"`
	Transaction      string `json:"transaction"`
	Watch            string `json:"watch"`
	Range            string `json:"range"`
	ConfigurationKey string `json:"configurationKey"`
	Conditions       string `json:"conditions"`
	ConfirmedUpTo    string `json:"confirmedUpTo"`
	LeaseEnd         string `json:"leaseEnd"`
	Memory           string `json:"memory"`
}

var wire = decodeWire()

func decodeWire() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err)
	}
	return names
}
