package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	announceTimeout = time.Second
	// retryInterval is the time before an announcement is sent to the next entry
	// instance after a failure.
	retryInterval = 100 * time.Millisecond
)

// announce sends announcements to an entry instance of the zone at intervals until
// ctx ends. If one fails, it goes on with the next instance.
func (s *Server) announce(ctx context.Context) error {
	body, err := json.Marshal(s.announcement())
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: announceTimeout}
	at := 0
	for ctx.Err() == nil {
		wait := announceInterval
		if err := postAnnouncement(ctx, client, s.cfg.Entries[at%len(s.cfg.Entries)], body); err != nil {
			at++
			wait = retryInterval
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// postAnnouncement posts an announcement to the entry instance at addr.
func postAnnouncement(ctx context.Context, client *http.Client, addr string, body []byte) error {
	url := fmt.Sprintf("http://%s/v1/announce", addr)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("announcement: %s: %s", resp.Status, text)
	}
	return nil
}
