/** Test fixtures of this package. */

/** A bundle in TOML with one service, two data centres and two targets. */
export const smallBundleText = `
version = 3

[[dataCentres]]
id = "east"
state = "in"

[[dataCentres]]
id = "west"
state = "in"

[[distances]]
between = ["east", "west"]
delayMs = 1.5

[[services]]
name = "reading"
idempotency = "by-method"
classes = [{name = "reader", weight = 1}]
limits = {queueLength = 10, queueTimeMs = 100, timeoutMs = 1000, bodyBytes = 1000}
retry = {share = 0.1, attempts = 2}
measuring = {callsPerSecond = 5, bytesPerSecond = 1000}

[[services.targets]]
id = "reading-1"
address = "127.0.0.1"
port = 8001
dataCentre = "east"
slots = 4
connections = 220
coldAllowance = 1

[[services.targets]]
id = "reading-2"
address = "127.0.0.1"
port = 8002
dataCentre = "west"
slots = 4
connections = 220
coldAllowance = 1
`;
