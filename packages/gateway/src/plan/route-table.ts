/** Looks up the route of a request by host and path. */

import type {Route} from './routing-plan.js';

const portPattern = /:\d+$/v;

/** The routes of a plan, grouped by host and sorted by descending prefix length. */
export class RouteTable {
	readonly #routesByHost = new Map<string, Route[]>();

	/**
	 * @param routes - The routes of the plan.
	 */
	constructor(routes: readonly Route[]) {
		for (const route of routes) {
			const host = route.host.toLowerCase();
			this.#routesByHost.set(host, [
				...(this.#routesByHost.get(host) ?? []),
				route,
			]);
		}

		for (const [host, hostRoutes] of this.#routesByHost) {
			this.#routesByHost.set(
				host,
				hostRoutes.toSorted(
					(a, b) => b.pathPrefix.length - a.pathPrefix.length,
				),
			);
		}
	}

	/**
	 * Gets the route of a request.
	 *
	 * @param host - The value of the `Host` header.
	 * @param url - The path and the query of the request.
	 * @returns The route with the longest matching path prefix; undefined if none matches.
	 */
	getRoute(host: string, url: string): Route | undefined {
		const hostName = host.toLowerCase();
		const routes =
			this.#routesByHost.get(hostName) ??
			this.#routesByHost.get(hostName.replace(portPattern, ''));
		const path = url.split('?', 1)[0]!;
		return routes?.find(({pathPrefix}) => path.startsWith(pathPrefix));
	}
}
