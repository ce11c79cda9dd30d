package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// table is rows of cells; the first row is the header.
type table [][]string

// print writes the message in the selected format.
func (s *session) print(message proto.Message, rows func() table) error {
	if s.format == "table" {
		return s.printTable(rows())
	}
	data, err := encodeJSON(message)
	if err != nil {
		return err
	}
	if s.format == "yaml" {
		data, err = yaml.JSONToYAML(data)
		if err != nil {
			return err
		}
	}
	_, err = s.output.Write(data)
	return err
}

// printValue writes a value that does not come from the server, as JSON or YAML.
func (s *session) printValue(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	if s.format == "yaml" {
		if data, err = yaml.JSONToYAML(data); err != nil {
			return err
		}
		_, err = s.output.Write(data)
		return err
	}
	_, err = fmt.Fprintln(s.output, string(data))
	return err
}

// encodeJSON returns the JSON form of protobuf with the schema's field names. The library varies its
// white space on purpose, so the result is indented again.
func encodeJSON(message proto.Message) ([]byte, error) {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitDefaultValues: true}.Marshal(message)
	if err != nil {
		return nil, err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return nil, err
	}
	indented.WriteByte('\n')
	return indented.Bytes(), nil
}

func (s *session) printTable(rows table) error {
	writer := tabwriter.NewWriter(s.output, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := writer.Write([]byte(strings.Join(row, "\t") + "\n")); err != nil {
			return err
		}
	}
	return writer.Flush()
}
