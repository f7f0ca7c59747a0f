import { routingPolicies, type RoutingPolicyName } from "@currantrill/core";
import { type FaultName, faultNames, type Scenario } from "../model/scenario.js";
import { type UserProfile, userProfiles } from "../model/userProfile.js";

/** Dimensions of the scenario matrix, which has one scenario for each combination. */
export interface MatrixOptions {
    readonly users: readonly UserProfile[];
    readonly loads: readonly number[];
    readonly faults: readonly FaultName[];
    readonly policies: readonly RoutingPolicyName[];
    readonly seed: number;
    readonly durationMs: number;
}

export const defaultMatrixOptions: MatrixOptions = {
    users: userProfiles,
    loads: [0.5, 0.7, 0.9, 1.1],
    faults: faultNames,
    policies: Object.keys(routingPolicies) as RoutingPolicyName[],
    seed: 1,
    durationMs: 300_000,
};

/** Reduced matrix for CI. */
export const smallMatrixOptions: MatrixOptions = {
    ...defaultMatrixOptions,
    loads: [0.7, 0.9],
    faults: ["none", "1 engine dies"],
    durationMs: 140_000,
};

/** Lists the scenarios of all combinations. */
export function listScenarios(options: Partial<MatrixOptions> = {}): Scenario[] {
    const { users, loads, faults, policies, seed, durationMs } = { ...defaultMatrixOptions, ...options };
    return users.flatMap(user =>
        loads.flatMap(load =>
            faults.flatMap(fault =>
                policies.map((policy): Scenario => ({ user, policy, load, fault, seed, durationMs, withLong: true }))
            )
        )
    );
}
