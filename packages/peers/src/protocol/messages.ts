/** The messages between peers and their schemas. */

import {
	errorKinds,
	makeId,
	type Digest,
	type HostId,
	type IdempotencyKey,
	type IncarnationId,
	type RequestId,
} from '@bilberryscale/core';
import {z} from 'zod';

const maxIdLength = 64;
const maxMaskLength = 64;
const maxHeaders = 200;
const maxManifestLength = 1_100_000;
const shortText = z.string().min(1).max(maxIdLength);
const hostId = shortText.transform((value) => makeId<HostId>(value));
const incarnationId = shortText.transform((value) =>
	makeId<IncarnationId>(value),
);
const mask = z
	.string()
	.max(maxMaskLength)
	.regex(/^[\da-f]*$/v);
const identity = z.strictObject({host: hostId, incarnation: incarnationId});
const envelope = {
	from: identity,
	/** The life of the receiver that the sender believes in. */
	to: incarnationId.optional(),
};
const state = z.strictObject({
	clockMs: z.number(),
	phase: z.enum(['starting', 'serving', 'leaving']),
	bundleVersion: z.int().nonnegative(),
	held: mask,
});
const headers = z
	.record(z.string(), z.union([z.string(), z.array(z.string())]))
	.refine((value) => Object.keys(value).length <= maxHeaders);
const failure = z.strictObject({
	kind: z.enum(errorKinds),
	ran: z.enum(['not-run', 'unknown']),
	detail: z.string(),
	retryAfterMs: z.number().optional(),
});

/** Says that the sender lives and asks for buckets. */
export const heartbeatSchema = z.strictObject({
	...envelope,
	sequence: z.int().positive(),
	state,
	wanted: mask,
});

/** Answers a heartbeat. */
export const heartbeatReplySchema = z.strictObject({
	from: identity,
	granted: mask,
	state,
});

/** Forwards a call to the home of its key. */
export const forwardedCallSchema = z.strictObject({
	...envelope,
	requestId: z.string().transform((value) => makeId<RequestId>(value)),
	key: z.string().transform((value) => makeId<IdempotencyKey>(value)),
	method: shortText,
	url: z.string(),
	headers,
	/** The body in base64. */
	body: z.base64(),
	/** The time that is left, in milliseconds. */
	timeoutMs: z.number().positive(),
});

/** Answers a forwarded call. */
export const forwardedReplySchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('answer'),
		status: z.int(),
		headers,
		body: z.base64(),
	}),
	z.strictObject({kind: z.literal('failure'), failure}),
]);

/** Asks for the signed manifest in force. */
export const manifestRequestSchema = z.strictObject(envelope);

/** Asks for a part of the bundle in force. */
export const partRequestSchema = z.strictObject({
	...envelope,
	digest: shortText.transform((value) => makeId<Digest>(value)),
});

/** Carries a manifest or a part; null if the peer has none. */
export const textReplySchema = z.strictObject({
	text: z.string().max(maxManifestLength).nullable(),
});

/** The messages by their names. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;
/** Answers a heartbeat. */
export type HeartbeatReply = z.infer<typeof heartbeatReplySchema>;
/** A call on its way to the home of its key. */
export type ForwardedCall = z.infer<typeof forwardedCallSchema>;
/** What became of a forwarded call. */
export type ForwardedReply = z.infer<typeof forwardedReplySchema>;
/** Asks for the manifest. */
export type ManifestRequest = z.infer<typeof manifestRequestSchema>;
/** Asks for a part. */
export type PartRequest = z.infer<typeof partRequestSchema>;
/** Carries a text. */
export type TextReply = z.infer<typeof textReplySchema>;
