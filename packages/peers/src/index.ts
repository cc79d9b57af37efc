/** The protocol between entry hosts. */

export type {PeerAddress} from './membership/peer-address.js';
