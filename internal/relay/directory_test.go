package relay

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// TestMalformedEntryRecordsAreSkipped guards against one record of another writer that hides the records of the entries, or
// whose strength makes every entry stand back in elections.
func TestMalformedEntryRecordsAreSkipped(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	d := newDirectory("own:1", log.New(&output))
	put := func(name string, value []byte) {
		d.apply([]store.Event{{KeyValue: store.KeyValue{Key: recordPrefix + name, Value: value}}})
	}
	encode := func(r record) []byte {
		value, err := wire.Marshal(&r)
		is.NoErr(err)
		return value
	}
	put("first", encode(record{Address: "10.1.0.1:7720", Strength: 0.4}))
	malformed := [][]byte{nil, bytes.Repeat([]byte{0x81}, 1000), []byte("{}"), encode(record{})}
	for _, strength := range []float64{math.NaN(), math.Inf(1), -1} {
		malformed = append(malformed, encode(record{Address: "10.1.0.2:7720", Strength: strength}))
	}
	for _, value := range malformed {
		put("malformed", value)
	}
	put("last", encode(record{Address: "10.1.0.3:7720"}))
	is.Equal(d.others(), []string{"10.1.0.1:7720", "10.1.0.3:7720"})
	is.Equal(d.maxStrength(), 0.4)
	is.Equal(strings.Count(output.String(), "malformed record skipped"), len(malformed))
}
