package ring_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"briaryard/internal/ring"
)

// Guards against lost wakeups: each item of several producers must reach one of several consumers.
func TestManyProducersAndConsumersLoseNothing(t *testing.T) {
	const producers, perProducer, consumers = 8, 2000, 4
	r := ring.New[int]("test", 4, ring.Block)
	ctx := context.Background()
	var produced, consumed sync.WaitGroup
	sums := make(chan int, consumers)
	for range consumers {
		consumed.Go(func() {
			sum := 0
			for {
				v, err := r.Get(ctx)
				if err != nil {
					sums <- sum
					return
				}
				sum += v
			}
		})
	}
	for range producers {
		produced.Go(func() {
			for i := 1; i <= perProducer; i++ {
				if err := r.Put(ctx, i); err != nil {
					t.Error(err)
				}
			}
		})
	}
	produced.Wait()
	r.Close()
	consumed.Wait()
	total := 0
	for range consumers {
		total += <-sums
	}
	if want := producers * perProducer * (perProducer + 1) / 2; total != want {
		t.Fatalf("sum of items is %d, want %d", total, want)
	}
}

// Guards against a full ring that drops an item or blocks although its policy says otherwise.
func TestFullRingFollowsItsPolicy(t *testing.T) {
	ctx := context.Background()
	refusing := ring.New[int]("refusing", 1, ring.Refuse)
	replacing := ring.New[int]("replacing", 1, ring.ReplaceOldest)
	blocking := ring.New[int]("blocking", 1, ring.Block)
	for _, r := range []*ring.Ring[int]{refusing, replacing, blocking} {
		if err := r.Put(ctx, 1); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := refusing.Put(ctx, 2).(*ring.FullError); !ok {
		t.Fatal("a full refusing ring must return FullError")
	}
	if err := replacing.Put(ctx, 2); err != nil {
		t.Fatal(err)
	}
	if v, _ := replacing.TryGet(); v != 2 {
		t.Fatalf("replacing ring kept %d, want the newest item", v)
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	if err := blocking.Put(timeoutCtx, 2); err != context.DeadlineExceeded {
		t.Fatalf("a full blocking ring must wait for room, got %v", err)
	}
	if s := refusing.Stats(); s.Refused != 1 || s.Depth != 1 {
		t.Fatalf("unexpected counters %+v", s)
	}
}

func BenchmarkRing(b *testing.B) {
	r := ring.New[int]("bench", 1024, ring.Block)
	ctx := context.Background()
	go func() {
		for i := 0; i < b.N; i++ {
			_ = r.Put(ctx, i)
		}
	}()
	for i := 0; i < b.N; i++ {
		_, _ = r.Get(ctx)
	}
}

func BenchmarkChannel(b *testing.B) {
	c := make(chan int, 1024)
	go func() {
		for i := 0; i < b.N; i++ {
			c <- i
		}
	}()
	for i := 0; i < b.N; i++ {
		<-c
	}
}
