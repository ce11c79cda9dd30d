package replay

import (
	"encoding/json"
	"io"
)

// Encode writes a line of a trace.
func Encode(writer io.Writer, line *Line) error {
	data, err := json.Marshal(line)
	if err != nil {
		return err
	}
	_, err = writer.Write(append(data, '\n'))
	return err
}
