package soak

import "slices"

// Shrink returns a schedule with as few of the events as it takes for fails to stay true:
// none of them can be left out alone. It tries to leave out halves of the events first, then
// quarters, and so on. fails plays a candidate and reports whether it shows the finding. An
// error of it ends the search; the smallest schedule so far is returned with it.
func Shrink(schedule Schedule, fails func(Schedule) (bool, error)) (Schedule, error) {
	for size := (len(schedule.Events) + 1) / 2; size > 0; size /= 2 {
		for {
			smaller, err := withoutParts(schedule, size, fails)
			if err != nil {
				return smaller, err
			}
			done := len(smaller.Events) == len(schedule.Events)
			schedule = smaller
			if done || size > 1 {
				break
			}
		}
	}
	return schedule, nil
}

// withoutParts leaves out each part of the given number of events without which the finding
// stays.
func withoutParts(schedule Schedule, size int, fails func(Schedule) (bool, error)) (Schedule, error) {
	for start := 0; start < len(schedule.Events); {
		end := min(start+size, len(schedule.Events))
		candidate := schedule
		candidate.Events = slices.Concat(schedule.Events[:start], schedule.Events[end:])
		failed, err := fails(candidate)
		if err != nil {
			return schedule, err
		}
		if failed {
			schedule = candidate
			continue
		}
		start = end
	}
	return schedule, nil
}
