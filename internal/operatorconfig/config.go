package operatorconfig

import "strings"

// Service is a pool of workers.
type Service struct {
	Name string
	// RejectsOverload is set if the workers reject tasks that exceed their capacity.
	RejectsOverload bool
	// Standby is set if the workers are switched off.
	Standby bool
}

// Config is one version of the operator's configuration. It is immutable once decoded and indexed.
type Config struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	// BodyBytes bounds the body of a caller's request.
	BodyBytes int
	// Malformed holds an error for each entry of the document that was skipped. The others are in effect.
	Malformed []error

	byHost map[string][]*Queue
	byName map[string]*Queue
}

// Index builds the lookup tables of Route and Queue. Call it once after decoding.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Queue)
	c.byName = make(map[string]*Queue, len(c.Queues))
	for i := range c.Queues {
		queue := &c.Queues[i]
		c.byHost[queue.Host] = append(c.byHost[queue.Host], queue)
		c.byName[queue.Name] = queue
	}
}

// Route returns the queue of the host whose Prefix is the longest prefix of the path.
func (c *Config) Route(host, path string) (*Queue, bool) {
	var best *Queue
	for _, queue := range c.byHost[host] {
		if strings.HasPrefix(path, queue.Prefix) && (best == nil || len(queue.Prefix) > len(best.Prefix)) {
			best = queue
		}
	}
	return best, best != nil
}

// Queue returns the queue with the name, or false if there is none.
func (c *Config) Queue(name string) (*Queue, bool) {
	queue, ok := c.byName[name]
	return queue, ok
}
