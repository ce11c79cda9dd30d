package replay

import (
	"encoding/json"
	"time"
)

// Duration is a time span that JSON holds as a Go duration with a unit, such as "1.5s". As a time it
// counts from the beginning of the trace.
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }
