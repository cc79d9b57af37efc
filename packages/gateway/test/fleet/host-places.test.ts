import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {HostPlaces} from '../../src/fleet/host-places.js';
import type {HostPlace} from '../../src/limits/get-rate-share.js';
import {east, west} from '../fixtures.js';

describe('HostPlaces', () => {
	describe('getPlaces', () => {
		// Guards against hosts beyond a cut that rank otherwise once gossip has forgotten them.
		it('remembers the data centre of a host that gossip has forgotten', () => {
			let peers: readonly HostPlace[] = [
				{address: '10.0.0.2', dataCentre: east},
				{address: '10.0.0.3', dataCentre: west},
			];
			const hosts = ['10.0.0.2', '10.0.0.3', '10.0.0.4'];
			const places = new HostPlaces({
				getHosts: () => hosts,
				getPeers: () => peers,
			});
			const expected = [...peers, {address: '10.0.0.4', dataCentre: undefined}];
			assert.equal(places.getPlaces(), expected);
			peers = [];
			assert.equal(places.getPlaces(), expected);
		});

		it('forgets a host with the directory', () => {
			const peer = {address: '10.0.0.2', dataCentre: east};
			let hosts: readonly string[] = [peer.address];
			let peers: readonly HostPlace[] = [peer];
			const places = new HostPlaces({
				getHosts: () => hosts,
				getPeers: () => peers,
			});
			places.getPlaces();
			peers = [];
			hosts = [];
			assert.equal(places.getPlaces(), []);
			hosts = [peer.address];
			assert.equal(places.getPlaces(), [
				{address: peer.address, dataCentre: undefined},
			]);
		});

		it('returns the same array while nothing changes', () => {
			const hosts = ['10.0.0.2'];
			const peers = [{address: '10.0.0.2', dataCentre: east}];
			const places = new HostPlaces({
				getHosts: () => hosts,
				getPeers: () => peers,
			});
			assert.is(places.getPlaces(), places.getPlaces());
		});
	});
});
