/** The schemas and types of the messages between peers. */

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
const maxBucketMaskLength = 64;
const maxHeaderCount = 200;
const maxManifestLength = 1_100_000;
const shortText = z.string().min(1).max(maxIdLength);
const hostId = shortText.transform((value) => makeId<HostId>(value));
const incarnationId = shortText.transform((value) =>
	makeId<IncarnationId>(value),
);
const bucketMask = z
	.string()
	.max(maxBucketMaskLength)
	.regex(/^[\da-f]*$/v);
const identity = z.strictObject({host: hostId, incarnation: incarnationId});
const envelope = {
	from: identity,
	/** The incarnation of the receiver that the message is meant for. */
	to: incarnationId.optional(),
};
const state = z.strictObject({
	clockMs: z.number(),
	phase: z.enum(['starting', 'serving', 'leaving']),
	bundleVersion: z.int().nonnegative(),
	held: bucketMask,
});
const headers = z
	.record(z.string(), z.union([z.string(), z.array(z.string())]))
	.refine((value) => Object.keys(value).length <= maxHeaderCount);
const failure = z.strictObject({
	kind: z.enum(errorKinds),
	ran: z.enum(['not-run', 'unknown']),
	detail: z.string(),
	retryAfterMs: z.number().optional(),
});

/** Reports the sender's state and claims the leases of buckets. */
export const heartbeatSchema = z.strictObject({
	...envelope,
	sequence: z.int().positive(),
	state,
	wanted: bucketMask,
});

/** The reply to a heartbeat, with the buckets that were granted. */
export const heartbeatReplySchema = z.strictObject({
	from: identity,
	granted: bucketMask,
	state,
});

/** Forwards a call to the owner of its key. */
export const forwardedCallSchema = z.strictObject({
	...envelope,
	requestId: z.string().transform((value) => makeId<RequestId>(value)),
	key: z.string().transform((value) => makeId<IdempotencyKey>(value)),
	method: shortText,
	url: z.string(),
	headers,
	/** The body in base64. */
	body: z.base64(),
	/** The remaining time until the deadline. */
	timeoutMs: z.number().positive(),
});

/** The outcome of a forwarded call. */
export const forwardedReplySchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('answer'),
		status: z.int(),
		headers,
		body: z.base64(),
	}),
	z.strictObject({kind: z.literal('failure'), failure}),
]);

/** Requests the signed manifest in force. */
export const manifestRequestSchema = z.strictObject(envelope);

/** Requests a part of the bundle in force. */
export const partRequestSchema = z.strictObject({
	...envelope,
	digest: shortText.transform((value) => makeId<Digest>(value)),
});

/** The reply with a manifest or a part; null if the peer has none. */
export const textReplySchema = z.strictObject({
	text: z.string().max(maxManifestLength).nullable(),
});

/** Reports the sender's state and claims the leases of buckets. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;
/** The reply to a heartbeat, with the buckets that were granted. */
export type HeartbeatReply = z.infer<typeof heartbeatReplySchema>;
/** A call forwarded to the owner of its key. */
export type ForwardedCall = z.infer<typeof forwardedCallSchema>;
/** The outcome of a forwarded call. */
export type ForwardedReply = z.infer<typeof forwardedReplySchema>;
/** Requests the signed manifest in force. */
export type ManifestRequest = z.infer<typeof manifestRequestSchema>;
/** Requests a part of the bundle in force. */
export type PartRequest = z.infer<typeof partRequestSchema>;
/** The reply with a manifest or a part; null if the peer has none. */
export type TextReply = z.infer<typeof textReplySchema>;
