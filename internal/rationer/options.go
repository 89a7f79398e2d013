package rationer

import "time"

const (
	// window is the time constant of all sums. Shares are to hold over a few seconds: a
	// response takes one or two, and the view of the load is half a second old.
	window = 4 * time.Second
	// kindWindow is the time constant of the counts of a kind. They are compared with each
	// other, and an entry of many sees a few requests of each kind in a second.
	kindWindow = 10 * time.Second
	// fractionTTL is how long a report about all entries counts: several syncs, of which
	// some are lost.
	fractionTTL = 3 * time.Second
	// refreshInterval is the time between computations of the level, which visit all
	// organisations.
	refreshInterval = 100 * time.Millisecond
	// shortUtilization is the utilization from which a model is short. An eighth of the
	// slots is never filled with first requests, and the view of the load is late by
	// about as much.
	shortUtilization = 0.75
	// shortPeriod is how long a model stays short after it was seen to be. It is above
	// the time for which refused clients stay away.
	shortPeriod = 2 * time.Second
	// freeUtilization is the utilization below which nothing is refused even if the model
	// is short: capacity that nobody uses is given to whoever asks. The throttler has the
	// same bound.
	freeUtilization = 0.55
	// targetUtilization is the utilization at which all that first requests may use is in
	// use.
	targetUtilization = 0.875
	// levelMargin is how much more than the capacity the organisations may have in all.
	// Without it, slots stay free whenever requests within the shares come unevenly.
	levelMargin = 1.12
	// minScale and maxScale bound the factor from what was admitted to the capacity.
	minScale, maxScale = 0.5, 4
	// burst is the time for which an organisation may run ahead of its share.
	burst = time.Second
	// burstRequests is the number of mean requests by which an organisation may run
	// further ahead. At an entry of many, an organisation sends a request in a second or
	// so, and chance makes them come together.
	burstRequests = 2
	// partyFloor and kindFloor are the fractions of the mean below which no organisation
	// and no kind of requests is to be served. Users ask for a quarter of the mean; the
	// sums lag, and one entry's ratio differs from that of all.
	partyFloor, kindFloor = 0.4, 0.5
	// maxReserve is the largest fraction of the capacity that is kept from the least
	// urgent requests for more urgent ones: about twice the standard deviation of the
	// slots that these use if they use half of a hundred.
	maxReserve = 0.12
	// repeatedFill is the fraction of the capacity up to which requests are accepted that
	// come again too early, so that those of clients that wait find slots.
	repeatedFill = 0.85
	// repeatPeriod is shorter than the wait of 1.5 s that refused clients are told.
	repeatPeriod = 1200 * time.Millisecond
	// maxParties bounds the organisations that are accounted for one by one for each
	// model.
	maxParties = 256
	// maxKinds bounds the kinds of requests of a service that are counted one by one.
	maxKinds = 64
	// maxRefused bounds the refused requests that are remembered.
	maxRefused = 1024
	// minCounted is how many requests of a kind must be counted before its share of
	// served requests is compared.
	minCounted = 8
	// maxDemandFactor bounds how much more the demand of a kind counts that is served less
	// often than a less urgent one. Instances that change models serve nothing meanwhile.
	maxDemandFactor = 2
	// demandGain is the relative increase of the factor in one second for each unit of the
	// lag: a lag of a fifth reaches the bound in ten seconds, about the time to load a
	// model.
	demandGain = 0.5
	// lagTolerance is the lag that has no effect. Users accept 5 in 100.
	lagTolerance = 0.02
	// lagNoise, divided by the square root of the number of requests, is added to the
	// tolerance: the standard deviation of a ratio of one half. Without it, the factors
	// of kinds with few requests would follow chance.
	lagNoise = 0.5
)
