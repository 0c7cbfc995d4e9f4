package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// addressBook keeps the list of addresses as a caller would: for its time to live.
type addressBook struct {
	seeds  []string
	domain string
	client *http.Client
	// token is sent with each question if there is one.
	token string

	mu        sync.Mutex
	addresses []string
	expires   time.Time
	next      int
}

type addressList struct {
	TTLSeconds int `json:"ttl_seconds"`
	Addresses  []struct {
		Address string `json:"address"`
	} `json:"addresses"`
}

// pick returns the address for the next request. Callers are spread over the list, since
// one generator stands for many callers.
func (b *addressBook) pick(ctx context.Context) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().After(b.expires) {
		b.refresh(ctx)
	}
	b.next++
	if len(b.addresses) == 0 {
		return b.seeds[b.next%len(b.seeds)]
	}
	return b.addresses[b.next%len(b.addresses)]
}

// refresh asks the known addresses, then the seeds, for a new list. An old list is better
// than none.
func (b *addressBook) refresh(ctx context.Context) {
	for _, address := range append(append([]string(nil), b.addresses...), b.seeds...) {
		list, ok := b.ask(ctx, address)
		if !ok || len(list.Addresses) == 0 {
			continue
		}
		b.addresses = b.addresses[:0]
		for _, a := range list.Addresses {
			b.addresses = append(b.addresses, a.Address)
		}
		b.expires = time.Now().Add(time.Duration(list.TTLSeconds) * time.Second)
		return
	}
	b.expires = time.Now().Add(time.Second)
}

func (b *addressBook) ask(ctx context.Context, address string) (addressList, bool) {
	var list addressList
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses?failure_domain="+b.domain, nil)
	if err != nil {
		return list, false
	}
	if b.token != "" {
		r.Header.Set(tokenHeader, "Bearer "+b.token)
	}
	response, err := b.client.Do(r)
	if err != nil {
		return list, false
	}
	defer func() { _ = response.Body.Close() }()
	return list, json.NewDecoder(response.Body).Decode(&list) == nil
}
