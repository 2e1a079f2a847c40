package simulation

import "sync"

// Each calls work for every position below count, from several workers.
func Each(count, workers int, work func(position int)) {
	positions := make(chan int)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for position := range positions {
				work(position)
			}
		})
	}
	for position := range count {
		positions <- position
	}
	close(positions)
	group.Wait()
}

// Batch plays count histories from a first seed, and hands each result to
// visit, one at a time, in no fixed order.
func Batch(firstSeed uint64, count, workers int, options Options, visit func(Result)) {
	var mutex sync.Mutex
	Each(count, workers, func(position int) {
		result := Run(firstSeed+uint64(position), options)
		mutex.Lock()
		defer mutex.Unlock()
		visit(result)
	})
}

// Summary adds results up.
type Summary struct {
	Histories int
	Total     Result
	// Failures are the results with a violation.
	Failures []Result
}

// Add takes one more result in.
func (s *Summary) Add(result Result) {
	s.Histories++
	s.Total.Steps += result.Steps
	s.Total.Elections += result.Elections
	s.Total.Committed += result.Committed
	s.Total.Answered += result.Answered
	s.Total.Placements += result.Placements
	if s.Total.Faults == nil {
		s.Total.Faults = make(map[FaultKind]int)
	}
	for kind, count := range result.Faults {
		s.Total.Faults[kind] += count
	}
	if result.Violation != nil {
		s.Failures = append(s.Failures, result)
	}
}
