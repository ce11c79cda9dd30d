package membership

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"clementineflow/internal/standin/kvstore"
	"clementineflow/internal/store"
	"clementineflow/internal/wire"
)

// TestMalformedRegistrationIsNoEntry guards against a record of another writer that counts as an entry: it would be the
// intended owner of shards, and no worker could be declared lost, since it denies none.
func TestMalformedRegistrationIsNoEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := kvstore.NewMemory()
		encode := func(entry Entry) []byte {
			value, err := wire.Marshal(&entry)
			is.NoErr(err)
			return value
		}
		values := [][]byte{
			nil, []byte("{}"),
			{0xa0},
			bytes.Repeat([]byte{0x81}, 1000), encode(Entry{}),
			encode(Entry{EntryAddress: wire.EntryAddress{Name: "x"}}),
			encode(Entry{EntryAddress: wire.EntryAddress{Name: "other"}, Incarnation: "i"}),
		}
		putAll := func(suffix string) {
			for i, value := range values {
				key := New(Config{Region: testRegion}).prefix + "x" + suffix + string(rune('a'+i))
				if i == len(values)-2 {
					key = New(Config{Region: testRegion}).prefix + "x"
				}
				_, err := memory.Commit(t.Context(), store.Transaction{Writes: []store.Write{{Key: key, Value: value}}})
				is.NoErr(err)
			}
		}
		putAll("listed")
		member, stop := startMember(t, "a", kvstore.NewFaulty(memory, 1))
		startMember(t, "b", kvstore.NewFaulty(memory, 2))
		time.Sleep(5 * time.Second)
		is.Equal(len(member.Entries()), 2)
		putAll("watched")
		time.Sleep(5 * time.Second)
		is.Equal(len(member.Entries()), 2)
		stop()
	})
}
