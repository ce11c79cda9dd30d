package process

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"clementineflow/internal/standin/kvstore"
)

// setStoreFaults switches the faults of the store.
func (c *cluster) setStoreFaults(faults kvstore.Faults) {
	c.t.Helper()
	c.put(c.storeControl, "/faults", faults)
}

func (c *cluster) put(address, path string, value any) {
	c.t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		c.t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		c.t.Fatalf("PUT %s%s: status %d", address, path, response.StatusCode)
	}
}

func getJSON[Value any](address, path string) (Value, error) {
	var value Value
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return value, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return value, err
	}
	return value, json.Unmarshal(data, &value)
}
