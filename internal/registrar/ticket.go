package registrar

import (
	"fmt"
	"slices"

	"papayaseam/internal/messenger"
)

// Reasons for rejecting a ticket.
const (
	RefusedNumberTaken  = "number-taken"
	RefusedNumberTooLow = "number-too-low"
	RefusedInvalid      = "invalid"
)

// applyTicket stores the objects of a ticket as a compare-and-set: the ticket number
// must be higher than the number of each object it changes, and identifies one
// content only. A rejected ticket changes nothing.
func (r *Registrar) applyTicket(index int, ticket messenger.Ticket) messenger.TicketAnswer {
	digest := Digest(ticket)
	answer := messenger.TicketAnswer{Number: ticket.Number, Digest: digest}
	if record, ok := r.tickets[ticket.Number]; ok {
		return answerUsedNumber(answer, record, digest)
	}
	if kind, message := r.validateTicket(ticket); kind != "" {
		answer.Kind = kind
		answer.Message = message
		return answer
	}
	for _, object := range ticket.Objects {
		object.Number = ticket.Number
		r.putObject(index, object)
	}
	r.storeTicket(ticketRecord{Number: ticket.Number, Digest: digest, Index: index, Author: ticket.Author, Reason: ticket.Reason})
	answer.Accepted = true
	answer.Index = index
	return answer
}

// answerUsedNumber responds to a ticket whose number is already used: the original
// response if the content is the same, otherwise a rejection that names the author of
// the accepted ticket.
func answerUsedNumber(answer messenger.TicketAnswer, record ticketRecord, digest string) messenger.TicketAnswer {
	if record.Digest == digest {
		answer.Accepted = true
		answer.Index = record.Index
		return answer
	}
	answer.Kind = RefusedNumberTaken
	answer.Winner = record.Author
	answer.Message = fmt.Sprintf("number %d was given to another ticket by %q (digest %s); read the current state, then submit under a higher number", record.Number, record.Author, record.Digest)
	return answer
}

// validateTicket returns the kind and message of the rejection, or empty strings.
func (r *Registrar) validateTicket(ticket messenger.Ticket) (kind, message string) {
	if ticket.Number < 1 || len(ticket.Objects) == 0 {
		return RefusedInvalid, "a ticket needs a number from 1 on and at least one object; add them and submit again"
	}
	if ticket.Number <= r.maxPrunedTicket {
		return RefusedNumberTooLow, fmt.Sprintf("numbers up to %d are no longer remembered; submit under a higher number", r.maxPrunedTicket)
	}
	seen := map[string]bool{}
	for _, object := range ticket.Objects {
		key := object.Kind + "/" + object.Name
		if seen[key] {
			return RefusedInvalid, fmt.Sprintf("%s stands twice in the ticket; state it once", key)
		}
		seen[key] = true
		if message := validateObject(object); message != "" {
			return RefusedInvalid, message
		}
		if kind, message := r.checkNumber(ticket.Number, key); kind != "" {
			return kind, message
		}
	}
	return "", ""
}

// checkNumber returns the kind and message of the rejection if a ticket number is not
// higher than the number of the object with the given key, and empty strings otherwise.
func (r *Registrar) checkNumber(number int, key string) (kind, message string) {
	current, ok := r.objects[key]
	if !ok && number <= r.maxPrunedNumber {
		return RefusedNumberTooLow, fmt.Sprintf("%s may have been removed by a ticket up to %d; submit under a higher number", key, r.maxPrunedNumber)
	}
	if ok && current.Number >= number {
		return RefusedNumberTooLow, fmt.Sprintf("%s stands at number %d, set by %q; read its state, then submit under a higher number", key, current.Number, r.tickets[current.Number].Author)
	}
	return "", ""
}

// validateObject returns the message of the rejection, or an empty string.
func validateObject(object messenger.Object) string {
	if object.Name == "" {
		return "an object has no name; give it one"
	}
	if object.Removed {
		if slices.Contains([]string{KindModel, KindService, KindOrganisation, KindObjective, KindHold}, object.Kind) {
			return ""
		}
		return fmt.Sprintf("kind %q can not be removed by a ticket; use model, service, organisation, objective or hold", object.Kind)
	}
	ok := (object.Kind == KindModel && object.Model != nil) ||
		(object.Kind == KindService && object.Service != nil) ||
		(object.Kind == KindOrganisation && object.Organisation != nil) ||
		(object.Kind == KindObjective && object.Objective != nil)
	if !ok {
		return fmt.Sprintf("%s/%s has no whole state of its kind; state all of it", object.Kind, object.Name)
	}
	if object.Model != nil && (object.Model.Members < 1 || object.Model.Groups < 0 || object.Model.Version == "") {
		return fmt.Sprintf("model/%s needs a version, members from 1 and groups from 0", object.Name)
	}
	return ""
}

// storeTicket stores an accepted ticket and prunes the oldest ones beyond the maximum.
func (r *Registrar) storeTicket(record ticketRecord) {
	r.tickets[record.Number] = record
	r.ticketOrder = append(r.ticketOrder, record.Number)
	for len(r.ticketOrder) > r.options.maxTickets {
		oldestNumber := r.ticketOrder[0]
		r.ticketOrder = r.ticketOrder[1:]
		delete(r.tickets, oldestNumber)
		r.maxPrunedTicket = max(r.maxPrunedTicket, oldestNumber)
	}
}
