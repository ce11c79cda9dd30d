package configuration

import (
	"testing"

	"clementineflow/internal/wire"
)

// FuzzDocument guards against a panic on a corrupted configuration document from the store or a peer.
func FuzzDocument(f *testing.F) {
	data, err := wire.Marshal(&Document{
		Revision: 1, Region: "r", Entries: []string{"a"}, Zones: []Zone{{Name: "z"}},
		Teams: []Team{{Name: "t", Weight: 1}}, Services: []Service{{Name: "s", Team: "t", Payload: []byte("p")}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := wire.Unmarshal[Document](data)
		if err != nil {
			return
		}
		_ = Validate(document)
		if _, err := wire.Marshal(document.Clone()); err != nil {
			t.Fatalf("decoded document does not encode: %v", err)
		}
	})
}
