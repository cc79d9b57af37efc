/** The protocol between entry hosts and the membership of their fleet. */

export {
	Membership,
	type MembershipChange,
	type MembershipOptions,
	type Peer,
	type PublishedHost,
} from './membership/membership.js';
export type {PeerAddress} from './membership/peer-address.js';
export type {PeerIdentity, PeerState} from './membership/peer-state.js';
export {
	forwardedReplySchema,
	heartbeatReplySchema,
	textReplySchema,
	type ForwardedCall,
	type ForwardedReply,
	type Heartbeat,
	type HeartbeatReply,
	type PartRequest,
	type TextReply,
} from './protocol/messages.js';
export {
	PeerClient,
	type PeerClientOptions,
	type PeerError,
} from './transport/peer-client.js';
export {
	PeerServer,
	type PeerHandlers,
	type PeerServerOptions,
} from './transport/peer-server.js';
export {
	readTlsFiles,
	type TlsFiles,
	type TlsMaterial,
} from './transport/tls-files.js';
