import { defaultPlacementWeights, type PlacementWeights } from "@currantrill/forwarding";

/** Parses weights that differ from the defaults, such as `safeShare=0.6,partCost=0.03`. Throws for an unknown name. */
export function parseVariant(text: string): PlacementWeights {
    const changes = text.split(",").map(part => part.split("="));
    for (const [name = "", value] of changes) {
        if (!(name in defaultPlacementWeights) || !Number.isFinite(Number(value))) {
            throw new Error(
                `found ${name}=${value ?? ""}, expected one of ${
                    Object.keys(defaultPlacementWeights).join(", ")
                } and a number`,
            );
        }
    }
    return {
        ...defaultPlacementWeights,
        ...Object.fromEntries(changes.map(([name = "", value]) => [name, Number(value)])),
    };
}
