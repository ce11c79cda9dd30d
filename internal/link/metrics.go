package link

import "github.com/VictoriaMetrics/metrics"

// Counters over all links of the process. Bytes are counted for the CBOR frames, without the headers of
// WebSocket, TCP and IP (about 60 bytes per frame).
var (
	sentBytes      = metrics.NewCounter("clementine_link_sent_bytes_total")
	sentFrames     = metrics.NewCounter("clementine_link_sent_frames_total")
	receivedBytes  = metrics.NewCounter("clementine_link_received_bytes_total")
	receivedFrames = metrics.NewCounter("clementine_link_received_frames_total")
	idleTimeouts   = metrics.NewCounter("clementine_link_silent_total")
	queueFull      = metrics.NewCounter("clementine_link_queue_full_total")
)
