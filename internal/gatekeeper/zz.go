package gatekeeper

const throttling = true
